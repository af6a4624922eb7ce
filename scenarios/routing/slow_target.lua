-- A target ten times slower than the others is ejected after a few answers.
seed(7)
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
      " address=10.0.0." .. address .. ":80 routes=chat slots=16 # omar: rack\n"
  end
end
routing_rules(text)
vm("vm-a", {region = "a"})
vm("vm-b", {region = "b"})
run(3000)
local id = 0
local function round()
  local at = {}
  for _ = 1, 16 do
    id = id + 1
    routing_submit("vm-a", id, "only-a", {session = id})
    local kind, target = routing_decision("vm-a", id)
    if kind == "dispatched" then
      at[target] = (at[target] or 0) + 1
      routing_first_token("vm-a", id, target == "a2" and 1000 or 100)
    end
  end
  for done = id - 15, id do
    if routing_decision("vm-a", done) == "dispatched" then routing_finish("vm-a", done) end
  end
  return at
end
for _ = 1, 8 do round() end
check_equal(round()["a2"], nil, "the slow target gets nothing")
check(round()["a1"] ~= nil, "the others do")
run(3000)
local probes = 0
for _ = 1, 4 do probes = probes + (round()["a2"] or 0) end
check(probes <= 1, "one probe finds it slow again")
