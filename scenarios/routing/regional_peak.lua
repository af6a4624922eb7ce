-- A region beyond its capacity sends away what may leave, keeps what is bound, and stops when it is calm.
seed(2)
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
for id = 1, 4 do routing_submit("vm-a", id, "wide") end
for id = 5, 10 do routing_submit("vm-a", id, "only-a") end
for id = 11, 16 do routing_submit("vm-a", id, "bound") end
for id = 5, 16 do check_equal(routing_decision("vm-a", id), "queued", "bound work waits at home") end
local sent = 0
for id = 17, 40 do
  routing_submit("vm-a", id, "wide")
  local kind, where = routing_decision("vm-a", id)
  if kind == "forward" then
    sent = sent + 1
    check_equal(where, "b", "the only other region")
  end
end
check(sent > 0, "work leaves while the queue costs more than the way")
check(sent <= 4, "no more leaves than the other region has free slots")
routing_submit("vm-a", 50, "wide", {hop = 1})
check(routing_decision("vm-a", 50) ~= "forward", "no second hop")
run(1000)
for id = 5, 16 do check(routing_decision("vm-a", id) ~= "forward", "bound work never leaves") end
-- Work ends until nothing waits; then the region keeps its work, with no swing back and forth.
for _ = 1, 40 do
  for id = 1, 50 do
    if (id <= 40 or id == 50) and routing_decision("vm-a", id) == "dispatched" then
      routing_finish("vm-a", id)
    end
  end
  run(100)
end
check_equal(routing_queued("vm-a"), 0, "the queue is empty")
for id = 101, 104 do
  routing_submit("vm-a", id, "wide")
  check_equal(routing_decision("vm-a", id), "dispatched", "a calm region keeps its work")
end
