-- Reports that are old say nothing: a silent target is not taken as idle, and still serves.
seed(6)
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
routing_report("vm-a", "a1", 0)
routing_report("vm-a", "a2", 9)
run(10000)
routing_report("vm-a", "a1", 8)
local at = {a1 = 0, a2 = 0}
for id = 1, 20 do
  routing_submit("vm-a", id, "only-a")
  local kind, target = routing_decision("vm-a", id)
  if kind == "dispatched" then at[target] = at[target] + 1 end
end
check(at.a1 <= 2, "the known load leaves two slots")
check(at.a2 >= 1, "a target without news takes work")
check(at.a2 < 10, "but is not taken as idle")
-- A report that arrives late does not undo a newer one.
routing_report("vm-a", "a1", 0, {age = 5000})
for id = 30, 40 do
  routing_submit("vm-a", id, "only-a")
  local kind, target = routing_decision("vm-a", id)
  check(not (kind == "dispatched" and target == "a1"), "the newer report counts")
end
