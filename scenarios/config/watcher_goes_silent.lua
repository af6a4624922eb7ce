-- The VM that watches for its data center goes silent; another takes over and the next change
-- comes through.
use_config()
seed(30)
local digest = ("0123456789abcdef"):rep(4)
local function rules(rate, with_key)
  local text = "region a # lena: first\nregion b # lena: first\nregion c # lena: first\n" ..
    "team shop regions=a,b,c rate=" .. rate .. "/s burst=1000 # lena: new\n"
  if with_key then text = text .. "key shop sha256:" .. digest .. " # lena: new\n" end
  return text
end
local names = {"a1", "a2", "a3", "a4"}
for _, name in ipairs(names) do vm(name, {region = "a"}); list(name) end
publish(1, rules(10, true))
run(10000)
local watcher
for _, name in ipairs(names) do
  if config_status(name).on_duty then watcher = name end
end
pause(watcher)
publish(2, rules(20, true))
run(5000)
for _, name in ipairs(names) do
  if name ~= watcher then
    check_equal(config_version(name), 2, name .. " has the change within five seconds")
  end
end
