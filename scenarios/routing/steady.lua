-- At a moderate load nothing waits, nothing leaves, and the work is spread over the targets.
seed(1)
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
  for number = 1, 4 do
    address = address + 1
    text = text .. "target " .. region .. number .. " region=" .. region ..
      " address=10.0.0." .. address .. ":80 routes=chat slots=8 # omar: rack\n"
  end
end
routing_rules(text)
vm("vm-a", {region = "a"})
vm("vm-b", {region = "b"})
run(3000)
local at = {}
for id = 1, 16 do
  routing_submit("vm-a", id, "wide")
  local kind, target = routing_decision("vm-a", id)
  check_equal(kind, "dispatched", "a free slot is used at home")
  at[target] = (at[target] or 0) + 1
end
for number = 1, 4 do
  check((at["a" .. number] or 0) >= 2, "each target gets work")
  check((at["a" .. number] or 0) <= 6, "no target gets most of it")
end
check_equal(routing_queued("vm-a"), 0, "nothing waits")
