-- A region that is cut off serves its callers, sends nothing into the cut, and goes back to normal.
seed(8)
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
part("a", "b")
run(5000)
for id = 1, 4 do
  routing_submit("vm-a", id, "wide")
  check_equal(routing_decision("vm-a", id), "dispatched", "callers are served")
end
for id = 5, 30 do
  routing_submit("vm-a", id, "wide")
  check(routing_decision("vm-a", id) ~= "forward", "nothing is sent to a region without news")
end
heal()
run(1000)
local sent = 0
for id = 5, 30 do
  if routing_decision("vm-a", id) == "forward" then sent = sent + 1 end
end
check(sent >= 1, "waiting work leaves once the region is heard again")
check(sent <= 6, "and only as much as the news of a second offers")
