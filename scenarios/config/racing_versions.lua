-- Two versions race by two paths: the service shows an older one to a VM that hears the newer
-- one from peers, in either order of arrival.
use_config()
seed(23)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
for _, name in ipairs({"a1", "a2", "b1", "b2"}) do
  vm(name, {region = name:sub(1, 1)}); list(name)
end
publish(1, rules(10, true))
run(10000)
part("a", "b")
platform_down("b")
publish(2, rules(20, true))
run(25000)
check_equal(config_version("a1"), 2, "one side has the second version")
check_equal(config_version("b1"), 1, "the other side has not")
publish(3, rules(30, true))
run(100)
platform_up("b")
heal()
service_shows(2)
reorder()
duplicate({kind = "config"})
run(20000)
service_shows(0)
run(30000)
for _, name in ipairs({"a1", "a2", "b1", "b2"}) do
  check_equal(config_version(name), 3, name .. " ends with the newest")
end
