-- Both delegates of a data center end at once; others take their place and news goes on.
use_membership()
seed(11)
local names = {}
for _, region in ipairs({"a", "b"}) do
  for i = 1, 6 do
    names[#names + 1] = vm(region .. i, {region = region})
    list(names[#names])
  end
end
run(10000)
local first = delegates("a1", "a-1")
stop(first[1])
pause(first[2])
run(6000)
local watcher = nil
for i = 1, 6 do
  local name = "a" .. i
  if name ~= first[1] and name ~= first[2] then watcher = name end
end
local second = delegates(watcher, "a-1")
for _, name in ipairs(second) do
  check(name ~= first[1] and name ~= first[2], "replaced by live ones")
end
leave(watcher)
run(3000)
check_equal(member_state("b1", watcher), "leaving", "news reaches the other region")
check_equal(member_state("b1", first[2]), "suspect", "the silent one is reported")
