-- One change is in force on all VMs within five seconds, with its audit line.
use_config()
seed(21)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
local names = {}
for _, region in ipairs({"a", "b", "c"}) do
  for i = 1, 3 do
    names[#names + 1] = vm(region .. i, {region = region})
    list(names[#names])
  end
end
publish(1, rules(10, true))
run(10000)
for _, name in ipairs(names) do
  check_equal(config_version(name), 1, name .. " has the first version")
  check(config_ready(name), name .. " serves")
end
publish(2, rules(20, false))
run(5000)
for _, name in ipairs(names) do
  check_equal(config_version(name), 2, name .. " has the change")
  check(not key_works(name, digest), "the withdrawn key is gone on " .. name)
  check_equal(audit_entries(name), 2, "rate and key stand in the audit trail")
end
local watching = 0
for _, name in ipairs(names) do
  if config_status(name).on_duty then watching = watching + 1 end
end
check_equal(watching, 3, "one VM watches for each data center")
