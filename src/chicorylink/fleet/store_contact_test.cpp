#include "chicorylink/fleet/store_contact.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;

base::time_point at(int since_boot_ms)
{
    return base::time_point{milliseconds{since_boot_ms}};
}

contact_span span(int since_ms, int until_ms)
{
    return {at(since_ms), at(until_ms)};
}

TEST(store_contact, short_pauses_are_no_outage)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note(span(2500, 2500));
    contact.note(span(4000, 4000));
    EXPECT_FALSE(contact.outage());
    EXPECT_EQ(contact.span()->since, at(1000));
    EXPECT_EQ(contact.span()->until, at(4000));
}

TEST(store_contact, a_long_pause_is_an_outage)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note(span(5000, 5000));
    ASSERT_TRUE(contact.outage());
    EXPECT_EQ(contact.outage()->lost_at, at(1000));
    EXPECT_EQ(contact.outage()->regained_at, at(5000));
    EXPECT_EQ(contact.span()->since, at(5000));
}

// Guards against an outage that only a VM saw that had not read the store for a while.
TEST(store_contact, contact_of_another_vm_meanwhile_closes_a_pause)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note(span(500, 4800));
    contact.note(span(5000, 5000));
    EXPECT_FALSE(contact.outage());
}

TEST(store_contact, an_outage_is_taken_back_when_another_vm_had_contact)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note(span(5000, 5000));
    contact.note(span(500, 4800));
    EXPECT_FALSE(contact.outage());
    EXPECT_EQ(contact.span()->since, at(500));
}

TEST(store_contact, vms_that_saw_the_outage_do_not_take_it_back)
{
    store_contact contact;
    contact.note(span(1000, 3000));
    contact.note(span(9000, 9000));
    // Another VM's last contact before the outage, and its first one after it.
    contact.note(span(500, 3400));
    contact.note(span(8800, 9600));
    ASSERT_TRUE(contact.outage());
    EXPECT_EQ(contact.outage()->regained_at, at(9000));
}

TEST(store_contact, a_vm_that_started_meanwhile_does_not_take_an_outage_back)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note(span(6000, 6000));
    contact.note(span(3000, 6200));
    EXPECT_TRUE(contact.outage());
}

// The first answer after an outage: what it confirms is older than its arrival.
TEST(store_contact, of_a_span_that_ends_before_it_begins_the_beginning_counts)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note(span(6000, 5000));
    ASSERT_TRUE(contact.outage());
    EXPECT_EQ(contact.outage()->regained_at, at(6000));
}

contact_report report(int since_ms, int until_ms, bool is_local)
{
    return {span(since_ms, until_ms), is_local};
}

TEST(store_contact, without_a_failed_read_a_vm_of_another_region_closes_a_pause)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note(report(500, 4800, false));
    contact.note(span(5000, 5000));
    EXPECT_FALSE(contact.outage());
}

// Guards against the loss of all targets of a region that was cut off from the store, while the
// other regions were not.
TEST(store_contact, an_outage_of_this_region_alone_is_one)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note_failure(at(4000));
    contact.note(report(500, 4800, false));
    ASSERT_TRUE(contact.outage());
    EXPECT_EQ(contact.outage()->lost_at, at(1000));
    EXPECT_EQ(contact.span()->since, at(4000));
    // What the other region says later does not take it back.
    contact.note(span(5000, 5000));
    contact.note(report(500, 9000, false));
    EXPECT_TRUE(contact.outage());
    EXPECT_EQ(contact.span()->since, at(4000));
}

TEST(store_contact, an_outage_of_this_vm_alone_is_none)
{
    store_contact contact;
    contact.note(span(1000, 1000));
    contact.note_failure(at(4000));
    contact.note(span(5000, 5000));
    contact.note(report(500, 4800, true));
    EXPECT_FALSE(contact.outage());
}

TEST(store_contact, an_earlier_failure_does_not_matter)
{
    store_contact contact;
    contact.note_failure(at(900));
    contact.note(span(1000, 3000));
    contact.note(report(500, 9000, false));
    EXPECT_FALSE(contact.outage());
}

} // namespace
} // namespace chicorylink::fleet
