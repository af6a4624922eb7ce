-- A region cut off from the platform and all other regions goes on for an hour, also after one of
-- its VMs is lost in silence. Nobody takes over what the lost VM had.
use_membership()
seed(5)
tick_every(500)
for _, name in ipairs({"a1", "a2", "a3", "b1", "b2", "b3"}) do
  vm(name, {region = name:sub(1, 1)}); list(name)
end
run(10000)
part("a", "b")
platform_down("a")
pause("a3")
for _ = 1, 60 do
  run(60000)
  drop({to = "a3"})
  check(may_act("a1") and may_act("a2"), "two of three go on")
  check(not may_act("a3"), "the lost one may not act")
  check(member_state("a1", "a3") ~= "gone", "silence proves nothing without a list")
end
heal()
platform_up("a")
resume("a3")
run(10000)
check(may_act("a3"), "it is confirmed again")
check_equal(renewals("a3"), 0, "nobody had taken it as gone")
check_equal(member_state("b1", "a3"), "live", "and is live elsewhere")
