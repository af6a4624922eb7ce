-- A key is withdrawn while only one VM of the fleet reaches the service.
use_config()
seed(22)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
local names = {}
for _, region in ipairs({"a", "b", "c"}) do
  for i = 1, 3 do
    names[#names + 1] = vm(region .. i, {region = region})
    list(names[#names])
  end
end
publish(1, rules(10, true))
run(10000)
for _, name in ipairs(names) do
  if name ~= "b2" then platform_down(name) end
end
run(40000)
publish(2, rules(10, false))
run(5000)
for _, name in ipairs(names) do
  check(not key_works(name, digest), "the withdrawn key is gone on " .. name)
end
check(config_status("b2").on_duty, "the one that reaches the service watches it")
