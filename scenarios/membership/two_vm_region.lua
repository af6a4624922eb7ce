-- A region of two: with the platform out of reach and the other VM silent, each goes on alone for
-- the isolation term, and neither counts the other as gone before that term has passed.
use_membership()
seed(6)
tick_every(500)
for _, name in ipairs({"a1", "a2"}) do vm(name, {region = "a"}); list(name) end
run(10000)
platform_down("a")
part("a1", "a2")
for _ = 1, 6 do
  run(600000)
  check(may_act("a1") and may_act("a2"), "both go on for an hour")
end
heal()
platform_up("a")
run(10000)
check_equal(member_state("a1", "a2"), "live", "they hear each other again")
-- One alone is cut off from all and dropped by the list; the other still sees the list.
platform_down("a1")
part("a1", "a2")
unlist("a1")
run(600000)
check(may_act("a1"), "it can't know that the list dropped it")
check(member_state("a2", "a1") ~= "gone", "so the other must not take over")
run(7200000)
check(not may_act("a1"), "after the isolation term it may not act")
run(720000)
check_equal(member_state("a2", "a1"), "gone", "only later it counts as gone")
