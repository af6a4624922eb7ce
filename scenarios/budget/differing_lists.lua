-- Each VM holds another list while VMs join and leave.
use_membership()
use_budget()
seed(6)
for _, region in ipairs({"a", "b", "c"}) do
  for i = 1, 3 do vm(region .. i, {region = region}); list(region .. i) end
end
budget_rules(1, 1000, 30000, "abc")
run(60000)
check_equal(budget_slots(), 756, "every slot has an owner")
local function blast()
  for _, region in ipairs({"a", "b", "c"}) do
    for i = 1, 3 do budget_load(region .. i, 40, 1000) end
  end
end
freeze_list("a1", false)
vm("a4", {region = "a"})
list("a4")
run(2000)
freeze_list("a2", true)
unlist("a3")
for _ = 1, 80 do run(500); blast(); budget_load("a4", 10, 1000) end
check(budget_within(), "every interval is within rate and burst")
thaw_list("a1")
thaw_list("a2")
for _ = 1, 80 do run(500); blast(); budget_load("a4", 10, 1000) end
check(budget_within(), "after the lists agree again")
