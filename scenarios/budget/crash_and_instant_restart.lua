-- A VM with a full bucket dies and is back at once at the same address, from empty.
use_membership()
use_budget()
seed(1)
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
blast()
stop("a1")
restart("a1")
budget_load("a1", 40, 1000)
check(budget_admitted() <= 30000, "the new process brings no second burst")
for _ = 1, 60 do run(500); blast() end
check(budget_within(), "every interval is within rate and burst")
check_equal(budget_slots(), 756, "the slots are owned again")
