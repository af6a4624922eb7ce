-- Every VM is drained and replaced by a new one, one after the other, under load.
use_membership()
use_budget()
seed(7)
for _, region in ipairs({"a", "b", "c"}) do
  for i = 1, 3 do vm(region .. i, {region = region}); list(region .. i) end
end
budget_rules(1, 1000, 30000, "abc")
run(60000)
check_equal(budget_slots(), 756, "every slot has an owner")
local now_there = {}
for _, region in ipairs({"a", "b", "c"}) do
  for i = 1, 3 do now_there[#now_there + 1] = region .. i end
end
for index = 1, 9 do
  local old = now_there[index]
  local fresh = old .. "x"
  vm(fresh, {region = old:sub(1, 1)})
  list(fresh)
  now_there[index] = fresh
  run(12000)
  leave(old)
  budget_drain(old)
  for _ = 1, 40 do
    run(500)
    for _, name in ipairs(now_there) do budget_load(name, 3, 1000) end
  end
  check(budget_drained(old), old .. " handed everything over")
  unlist(old)
  stop(old)
  run(2000)
end
run(30000)
check_equal(budget_slots(), 756, "every slot has an owner")
check(budget_within(), "every interval is within rate and burst")
