-- A new incarnation at the same address proves that the earlier process is gone; its messages that
-- arrive late change nothing.
use_membership()
seed(2)
for _, name in ipairs({"a1", "a2", "a3"}) do vm(name, {region = "a"}) end
for _, name in ipairs({"a1", "a2", "a3"}) do list(name) end
run(5000)
advance(1000)
local late = in_flight({from = "a2", to = "a1"})
check(#late > 0, "messages of the old process are in flight")
drop({to = "a2"})
restart("a2")
advance(1000)
deliver({from = "a2", to = "a3"})
check_equal(known_process("a3", "a2"), "present", "a3 heard the new process")
for i = #late, 1, -1 do
  deliver(late[i].number)
end
run(3000)
check_equal(known_process("a1", "a2"), "present", "a1 knows the new process")
duplicate({from = "a2"})
reorder()
run(3000)
check_equal(known_process("a1", "a2"), "present", "nothing goes back to the old process")
check_equal(member_state("a1", "a2"), "live", "the new process is live")
