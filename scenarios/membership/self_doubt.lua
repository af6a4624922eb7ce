-- A process that was paused does not suspect others for silence that was its own.
seed(9)
for _, name in ipairs({"a1", "a2", "a3"}) do vm(name, {region = "a"}); list(name) end
run(10000)
pause("a1")
run(8000)
check_equal(member_state("a2", "a1"), "suspect", "others suspect it")
drop({to = "a1"})
resume("a1")
advance(100)
check_equal(member_state("a1", "a2"), "live", "it doubts itself first")
run(2000)
check_equal(member_state("a2", "a1"), "live", "it is heard again")
check(may_act("a1"), "and confirmed")
