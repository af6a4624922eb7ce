-- A VM that is told to leave is known as leaving in its data center at once and in all regions
-- within two seconds, although the platform's list does not show it yet.
use_membership()
seed(10)
tick_every(50)
local names = {}
for _, region in ipairs({"a", "b", "c"}) do
  for i = 1, 4 do
    names[#names + 1] = vm(region .. i, {region = region})
    list(names[#names])
  end
end
run(10000)
leave("a2")
run(200)
check_equal(member_state("a1", "a2"), "leaving", "in the data center")
run(1800)
for _, name in ipairs(names) do
  check_equal(member_state(name, "a2"), "leaving", name .. " knows within two seconds")
end
