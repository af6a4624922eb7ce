-- Three regions of three VMs: all see all as live, each may act, delegates are agreed.
use_membership()
seed(1)
local names = {}
for _, region in ipairs({"a", "b", "c"}) do
  for i = 1, 3 do
    names[#names + 1] = vm(region .. i, {region = region})
  end
end
for _, name in ipairs(names) do list(name) end
run(10000)
for _, one in ipairs(names) do
  check(may_act(one), one .. " may act")
  for _, other in ipairs(names) do
    check_equal(member_state(one, other), "live", one .. " sees " .. other)
  end
  check_equal(delegates(one, "a-1")[1], delegates("a1", "a-1")[1], "delegates are agreed")
end
