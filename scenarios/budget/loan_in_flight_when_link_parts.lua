-- A link parts while loans are on their way: they are lost, never doubled.
use_membership()
use_budget()
seed(3)
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
budget_load("a1", 30, 1000)
part("a1", "a2")
part("a1", "a3")
part("a", "b")
for _ = 1, 10 do run(500); blast() end
heal()
for _ = 1, 40 do run(500); blast() end
check(budget_within(), "every interval is within rate and burst")
