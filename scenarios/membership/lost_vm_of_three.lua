-- One VM of a region of three is lost in silence, the list drops it, and a replacement comes at
-- another address: the two that are left count it as gone soon after the fence term.
use_membership()
seed(12)
for _, name in ipairs({"a1", "a2", "a3"}) do vm(name, {region = "a"}); list(name) end
run(10000)
pause("a2")
run(10000)
unlist("a2")
run(10000)
vm("a4", {region = "a"})
list("a4")
run(25000)
check_equal(gone_proof("a1", "a2"), "silent", "gone within the term, counted from the list")
check_equal(member_state("a4", "a2"), "unknown", "the replacement never knew it")
check(not may_act("a2"), "it could not act any more")
