-- One team fills the queue; a request of another team goes ahead within its share.
seed(5)
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
      " address=10.0.0." .. address .. ":80 routes=chat slots=2 # omar: rack\n"
  end
end
routing_rules(text)
vm("vm-a", {region = "a"})
vm("vm-b", {region = "b"})
run(3000)
for id = 1, 300 do routing_submit("vm-a", id, "busy", {hop = 1, patience = 600000}) end
check(routing_queued("vm-a") > 200, "the busy team waits for itself")
local finished = {}
for round = 1, 20 do
  routing_submit("vm-a", 1000 + round, "only-a", {hop = 1})
  check_equal(routing_decision("vm-a", 1000 + round), "queued", "all slots are taken")
  local ended = 0
  for id = 1, 300 do
    if ended < 2 and finished[id] == nil and routing_decision("vm-a", id) == "dispatched" then
      routing_finish("vm-a", id)
      finished[id] = true
      ended = ended + 1
    end
  end
  check_equal(ended, 2, "the busy team keeps some slots")
  check_equal(routing_decision("vm-a", 1000 + round), "dispatched", "the other team is among the next two")
  routing_finish("vm-a", 1000 + round)
end
