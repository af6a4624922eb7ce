-- The service comes back after an outage with an older version: all serve on with the newer
-- one and say so.
use_config()
seed(24)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
for _, name in ipairs({"a1", "a2", "a3"}) do vm(name, {region = "a"}); list(name) end
publish(1, rules(10, true))
publish(2, rules(20, true))
run(10000)
platform_down("a")
run(3600)
run(60000)
check(not config_status("a1").service_reachable or not config_status("a2").service_reachable,
  "the loss is told")
service_shows(1)
platform_up("a")
run(30000)
for _, name in ipairs({"a1", "a2", "a3"}) do
  check_equal(config_version(name), 2, name .. " does not go back")
  check(config_ready(name), name .. " serves on")
end
restart("a2")
run(10000)
check_equal(config_version("a2"), 2, "a newcomer asks its region before it trusts the service")
check(config_ready("a2"), "and serves")
publish(3, rules(30, true))
service_shows(0)
run(25000)
for _, name in ipairs({"a1", "a2", "a3"}) do
  check_equal(config_version(name), 3, name .. " goes on with the newest")
end
