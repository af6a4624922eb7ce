-- Targets that fail are ejected, never more than half of them, and probed one request at a time.
seed(3)
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
local id = 0
local function fail_all(count)
  for _ = 1, count do
    id = id + 1
    routing_submit("vm-a", id, "only-a")
    if routing_decision("vm-a", id) == "dispatched" then routing_finish("vm-a", id, {failed = 1}) end
  end
end
fail_all(200)
local serving = {}
for _ = 1, 8 do
  id = id + 1
  routing_submit("vm-a", id, "only-a")
  local kind, target = routing_decision("vm-a", id)
  check_equal(kind, "dispatched", "half of the pool still serves")
  serving[target] = true
end
local count = 0
for _ in pairs(serving) do count = count + 1 end
check_equal(count, 2, "two of four are ejected and no more")
