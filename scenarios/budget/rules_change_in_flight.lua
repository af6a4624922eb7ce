-- Rate and burst fall, rise, and the team moves to other regions while one VM has older rules.
use_membership()
use_budget()
seed(9)
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
for _ = 1, 10 do run(500); blast() end
budget_rules(2, 100, 3000, "abc")
run(500)
for _ = 1, 60 do run(500); blast() end
check(budget_within(), "lowered")
budget_rules(3, 2000, 60000, "abc")
for _ = 1, 60 do run(500); blast() end
check(budget_within(), "raised")
budget_rules(4, 2000, 60000, "a")
for _ = 1, 60 do run(500); blast() end
check(budget_within(), "bound to one region")
