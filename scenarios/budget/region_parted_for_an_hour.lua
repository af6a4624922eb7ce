-- A region is cut off for an hour: it goes on with its part, and the whole stays within bounds.
use_membership()
use_budget()
seed(5)
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
part("a", "b")
part("a", "c")
local before = budget_admitted()
for _ = 1, 720 do
  run(5000)
  budget_load("a1", 2, 500)
  blast()
end
local spent = budget_admitted() - before
check(spent > 3600 * 1000 * 0.8, "all parts go on")
heal()
run(5000)
blast()
check(budget_within(), "every interval is within rate and burst")
