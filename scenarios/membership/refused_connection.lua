-- A refused connection at the address proves that the process there has ended.
use_membership()
seed(4)
for _, name in ipairs({"a1", "a2", "a3"}) do vm(name, {region = "a"}); list(name) end
run(5000)
stop("a2")
run(2000)
check_equal(member_state("a1", "a2"), "gone", "gone within two heartbeats")
check_equal(gone_proof("a1", "a2"), "refused", "by refusal")
check_equal(member_state("a3", "a2"), "gone", "for all")
restart("a2")
run(3000)
check_equal(member_state("a1", "a2"), "live", "its next process is live")
