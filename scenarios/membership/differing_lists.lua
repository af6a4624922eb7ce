-- VMs hold different lists: none counts another as gone while any VM of the region hears it.
use_membership()
seed(8)
for _, name in ipairs({"a1", "a2", "a3", "a4", "a5"}) do vm(name, {region = "a"}); list(name) end
run(10000)
freeze_list("a1", false)
freeze_list("a2", true)
unlist("a3")
part("a3", "a4")
part("a3", "a5")
for _ = 1, 10 do
  run(10000)
  check(member_state("a4", "a3") ~= "gone", "a1 and a2 still hear it")
  check(may_act("a3"), "three of five confirm it")
end
part("a3", "a1")
part("a3", "a2")
thaw_list("a1")
thaw_list("a2")
local acting_until = now()
for _ = 1, 60 do
  run(1000)
  if may_act("a3") then acting_until = now() end
  check(member_state("a4", "a3") ~= "gone" or not may_act("a3"), "never both")
end
check_equal(member_state("a4", "a3"), "gone", "silent to all now")
check(now() > acting_until, "its permission ended first")
heal()
run(5000)
check_equal(renewals("a3"), 1, "it comes back as a new incarnation")
