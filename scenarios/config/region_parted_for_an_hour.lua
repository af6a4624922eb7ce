-- A region is parted for an hour and changes reach only one side; both serve on and meet at the
-- newest version within seconds after.
use_config()
seed(26)
tick_every(250)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
local names = {"a1", "a2", "a3", "b1", "b2", "b3"}
for _, name in ipairs(names) do vm(name, {region = name:sub(1, 1)}); list(name) end
publish(1, rules(10, true))
run(10000)
part("a", "b")
platform_down("b")
for i = 2, 13 do
  publish(i, rules(10 * i, i < 10))
  run(300000)
  check_equal(config_version("a1"), i, "one side follows")
  check_equal(config_version("b1"), 1, "the other stays")
  check(config_ready("b1"), "and serves")
end
heal()
run(5000)
for _, name in ipairs(names) do
  check_equal(config_version(name), 13, name .. " has caught up, the service still unreached")
end
