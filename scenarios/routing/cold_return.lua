-- A target that returns with a cold cache gets a part of its slots first: traffic does not stampede.
seed(4)
tick_every(100)
use_routing()
local text = "region a # lena: first\nregion b # lena: first\n" ..
  "link a b delay=55ms rate=140Mbit # omar: contract\n" ..
  "team wide regions=a,b rate=100000/s burst=100000 # lena: all\n" ..
  "team busy regions=a,b rate=100000/s burst=100000 # lena: all\n" ..
  "team only-a regions=a rate=100000/s burst=100000 # lena: data stays\n" ..
  "team bound regions=a,b home=a rate=100000/s burst=100000 # lena: data stays\n" ..
  "route chat kind=model deadline=20s # lena: assistant\n"
local address = 0
for _, region in ipairs({"a", "b"}) do
  for number = 1, 2 do
    address = address + 1
    text = text .. "target " .. region .. number .. " region=" .. region ..
      " address=10.0.0." .. address .. ":80 routes=chat slots=10 # omar: rack\n"
  end
end
routing_rules(text)
vm("vm-a", {region = "a"})
vm("vm-b", {region = "b"})
run(3000)
for number = 1, 2 do routing_target("vm-a", "a" .. number, true) end
routing_submit("vm-a", 1, "only-a")
check_equal(routing_decision("vm-a", 1), "refused", "no target takes work")
run(5000)
routing_target("vm-a", "a1", false)
local function taken(first, last)
  local count = 0
  for id = first, last do
    routing_submit("vm-a", id, "only-a", {prompt = 10, patience = 60000})
    local kind, target = routing_decision("vm-a", id)
    if kind == "dispatched" then
      check_equal(target, "a1", "a leaving target gets nothing")
      count = count + 1
    end
  end
  return count
end
local early = taken(10, 40)
check(early >= 1, "it takes work at once")
check(early <= 3, "but no more than its first share")
run(12000)
check(routing_queued("vm-a") > 0 or early > 0, "the rest waits")
local held = 0
for id = 10, 40 do
  if routing_decision("vm-a", id) == "dispatched" then held = held + 1 end
end
check_equal(held, 10, "after the warm-up all slots are used")
