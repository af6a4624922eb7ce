-- A version with one bad line is rejected as a whole, on every VM; the next good one comes into
-- force. Corrupt parts leave all as it was until the service is mended.
use_config()
seed(29)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
local names = {"a1", "a2", "a3", "b1", "b2"}
for _, name in ipairs(names) do vm(name, {region = name:sub(1, 1)}); list(name) end
publish(1, rules(10, true))
run(10000)
publish(2, rules(20, true) .. "team broken regions=nowhere rate=1/s burst=1 # omar: typo\n")
run(20000)
local rejected = 0
for _, name in ipairs(names) do
  check_equal(config_version(name), 1, name .. " keeps the last good version")
  check(config_ready(name), name .. " serves on")
  if config_status(name).rejected == 2 then rejected = rejected + 1 end
end
check(rejected >= 2, "each watcher says that it rejected it")
publish(3, rules(30, true))
service_corrupt(true)
run(20000)
for _, name in ipairs(names) do
  check_equal(config_version(name), 1, name .. " takes no corrupt part")
end
service_corrupt(false)
run(10000)
for _, name in ipairs(names) do
  check_equal(config_version(name), 3, name .. " has the good version")
end
