-- Half of a data center restarts at once while the service is down: the newcomers get all from
-- the others; then the whole region restarts, and serves when the service answers.
use_config()
seed(27)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
local names = {}
for i = 1, 6 do
  names[i] = vm("a" .. i, {region = "a"})
  list(names[i])
end
publish(1, rules(10, true))
publish(2, rules(20, true))
run(10000)
platform_down("a")
run(15000)
for i = 1, 3 do restart(names[i]) end
run(10000)
for _, name in ipairs(names) do
  check_equal(config_version(name), 2, name .. " has the version of its peers")
  check(config_ready(name), name .. " serves")
end
for _, name in ipairs(names) do stop(name) end
for _, name in ipairs(names) do restart(name) end
run(30000)
for _, name in ipairs(names) do
  check(not config_ready(name), "nobody knows any version")
end
platform_up("a")
run(20000)
for _, name in ipairs(names) do
  check_equal(config_version(name), 2, name .. " has it from the service or a peer")
  check(config_ready(name), name .. " serves")
end
