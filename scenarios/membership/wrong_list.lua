-- The list shows the dead as live and the live not at all: what is heard goes first.
use_membership()
seed(7)
for _, name in ipairs({"a1", "a2", "a3", "a4"}) do vm(name, {region = "a"}) end
for _, name in ipairs({"a1", "a2", "a4"}) do list(name) end
vm("ghost", {region = "a"})
list("ghost")
pause("ghost")
run(10000)
check_equal(member_state("a1", "ghost"), "suspect", "listed as live but never heard")
check_equal(member_state("a1", "a3"), "live", "not listed but heard")
check(may_act("a3"), "confirmed by more than half of the region")
unlist("a4")
run(60000)
check_equal(member_state("a1", "a4"), "live", "dropped by the list but heard")
check(may_act("a4"), "and still confirmed")
