-- A newcomer between a stale service and newer peers does not serve the old version.
use_config()
seed(25)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
for _, name in ipairs({"a1", "a2"}) do vm(name, {region = "a"}); list(name) end
publish(1, rules(10, true))
publish(2, rules(20, false))
run(10000)
service_shows(1)
vm("a3", {region = "a"})
list("a3")
for _ = 1, 100 do
  advance(100)
  deliver({to = "a1"}); deliver({to = "a2"})
  drop({to = "a3", kind = "config"})
  deliver({to = "a3", kind = "membership"})
  check(not config_ready("a3"), "its peers know more than it has")
  check(not key_works("a3", digest) or not config_ready("a3"), "the withdrawn key is not served")
end
run(5000)
check_equal(config_version("a3"), 2, "it pulls the newer one from its peers")
check(config_ready("a3"), "and serves")
