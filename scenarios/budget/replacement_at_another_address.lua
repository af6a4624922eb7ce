-- A paused VM is replaced at another address and wakes later with a full bucket in its memory.
use_membership()
use_budget()
seed(2)
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
pause("a1")
vm("a4", {region = "a"})
list("a4")
run(5000)
unlist("a1")
for _ = 1, 120 do run(500); blast(); budget_load("a4", 5, 1000) end
check_equal(budget_slots(), 756, "others took its slots over")
resume("a1")
local before = budget_admitted()
budget_load("a1", 40, 1000)
check_equal(budget_admitted(), before, "the woken process spends nothing")
for _ = 1, 20 do run(500); blast() end
check(budget_within(), "every interval is within rate and burst")
