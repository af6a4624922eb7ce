-- A VM paused past every expiry wakes amid a change: it may not act and does not serve before it
-- has caught up.
use_config()
seed(28)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
for _, name in ipairs({"a1", "a2", "a3"}) do vm(name, {region = "a"}); list(name) end
publish(1, rules(10, true))
run(10000)
check(config_ready("a2"), "it serves at first")
pause("a2")
publish(2, rules(20, false))
run(3600)
run(60000)
drop({to = "a2"})
resume("a2")
check(not may_act("a2"), "its permission has run out, before any tick")
advance(100)
check(not config_ready("a2"), "it is a newcomer after its wake")
run(5000)
check_equal(config_version("a2"), 2, "it has caught up")
check(config_ready("a2"), "and serves")
check(may_act("a2"), "and is a member")
check(not key_works("a2", digest), "without the withdrawn key")
