-- A process pauses after its reservation: on waking, the reservation may not be used any more.
use_membership()
use_budget()
seed(8)
for _, region in ipairs({"a", "b", "c"}) do
  for i = 1, 3 do vm(region .. i, {region = region}); list(region .. i) end
end
budget_rules(1, 1000, 30000, "abc")
run(60000)
check_equal(budget_slots(), 756, "every slot has an owner")
check_equal(budget_load("a1", 1, 1000, 1000, 600000), 1, "reserved")
check(budget_confirm("a1"), "usable at once")
pause("a1")
unlist("a1")
run(60000)
resume("a1")
check(not budget_confirm("a1"), "the permission has run out")
