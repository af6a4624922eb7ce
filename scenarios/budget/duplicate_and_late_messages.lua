-- Loan messages arrive twice, out of order, and half a minute late.
use_membership()
use_budget()
seed(4)
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
for _ = 1, 40 do
  blast()
  advance(100)
  duplicate({kind = "budget"})
  reorder()
  if random(3) > 1 then deliver() end
  if random(4) == 1 then advance(random(5) * 1000) end
  run(200)
end
for _ = 1, 4 do
  blast()
  advance(100)
  duplicate({kind = "budget"})
  advance(30000)
  deliver()
  blast()
  run(500)
end
check(budget_within(), "every interval is within rate and burst")
