/// @file
/// Limits of owners by processor share and link, and the division of a zone's targets among mixed instances.
#include <eelgrasscleat/Dispatch/InstanceCapacity.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class InstanceCapacityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InstanceCapacityTest);
    CPPUNIT_TEST(limit_strongInstance_isMaximum);
    CPPUNIT_TEST(limit_thinLink_followsLink);
    CPPUNIT_TEST(limit_smallShare_followsShare);
    CPPUNIT_TEST(limit_tinyInstance_isOne);
    CPPUNIT_TEST(limit_unknownLink_followsShare);
    CPPUNIT_TEST(order_strongestFirst_thenByName);
    CPPUNIT_TEST(plan_strongInstances_fewOwners);
    CPPUNIT_TEST(plan_thinLinks_manyOwners);
    CPPUNIT_TEST(plan_mixedFleet_weakOnesLeftOut);
    CPPUNIT_TEST(plan_tooManyTargets_mostThatFit);
    CPPUNIT_TEST(plan_anyFleet_noOwnerOverItsLimitIfAvoidable);
    CPPUNIT_TEST_SUITE_END();

public:
    void limit_strongInstance_isMaximum()
    {
        CPPUNIT_ASSERT_EQUAL(kMaxTargetsPerOwner, targetLimit({ 500, 200000 }));
        CPPUNIT_ASSERT_EQUAL(kMaxTargetsPerOwner, targetLimit({ 200, 20000 }));
    }

    void limit_thinLink_followsLink()
    {
        CPPUNIT_ASSERT(targetLimit({ 500, 2000 }) < 10);
        CPPUNIT_ASSERT(targetLimit({ 500, 4000 }) >= 2 * targetLimit({ 500, 2000 }));
    }

    void limit_smallShare_followsShare()
    {
        CPPUNIT_ASSERT(targetLimit({ 90, 200000 }) < kMaxTargetsPerOwner / 2);
        CPPUNIT_ASSERT(targetLimit({ 50, 200000 }) < targetLimit({ 90, 200000 }));
    }

    void limit_tinyInstance_isOne()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, targetLimit({ 1, 10 }));
    }

    void limit_unknownLink_followsShare()
    {
        CPPUNIT_ASSERT_EQUAL(targetLimit({ 90, 1000000 }), targetLimit({ 90, 0 }));
    }

    void order_strongestFirst_thenByName()
    {
        const InstanceName a("a");
        const InstanceName b("b");
        CPPUNIT_ASSERT(precedesAsOwner(b, { 500, 200000 }, a, { 90, 20000 }));
        CPPUNIT_ASSERT(!precedesAsOwner(a, { 90, 20000 }, b, { 500, 200000 }));
        CPPUNIT_ASSERT(precedesAsOwner(b, { 500, 200000 }, a, { 300, 62000 }));
        CPPUNIT_ASSERT(precedesAsOwner(a, { 300, 62000 }, b, { 300, 62000 }));
        CPPUNIT_ASSERT(!precedesAsOwner(a, { 300, 62000 }, a, { 300, 62000 }));
    }

    void plan_strongInstances_fewOwners()
    {
        const std::vector<InstanceCapacity> ranked(3, { 500, 200000 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planOwners(ranked, 0).owners);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planOwners(ranked, 48).owners);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, planOwners(ranked, 108).owners);
    }

    void plan_thinLinks_manyOwners()
    {
        const std::vector<InstanceCapacity> ranked(20, { 120, 2000 });
        const OwnerPlan plan = planOwners(ranked, 17);
        CPPUNIT_ASSERT(plan.owners >= 3);
        CPPUNIT_ASSERT(plan.owners * plan.targetsPerOwner >= 17);
        CPPUNIT_ASSERT_EQUAL(targetLimit({ 120, 2000 }), plan.targetsPerOwner);
    }

    void plan_mixedFleet_weakOnesLeftOut()
    {
        // Dividing evenly with instances of a twentieth of a core would leave less to each than the strong two carry.
        const std::vector<InstanceCapacity> ranked { { 500, 200000 }, { 500, 200000 }, { 50, 1000 }, { 50, 1000 } };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, planOwners(ranked, 120).owners);
    }

    void plan_tooManyTargets_mostThatFit()
    {
        const std::vector<InstanceCapacity> ranked(4, { 500, 200000 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, planOwners(ranked, 10000).owners);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planOwners({}, 10).owners);
    }

    void plan_anyFleet_noOwnerOverItsLimitIfAvoidable()
    {
        for (std::uint32_t milliCores = 50; milliCores <= 500; milliCores += 50) {
            for (std::uint32_t linkKbps = 1000; linkKbps <= 200000; linkKbps *= 2) {
                for (std::size_t instances = 1; instances <= 20; ++instances) {
                    const InstanceCapacity capacity { milliCores, linkKbps };
                    const std::vector<InstanceCapacity> ranked(instances, capacity);
                    const std::size_t targets = 100;
                    const OwnerPlan plan = planOwners(ranked, targets);
                    const bool isAvoidable = instances * targetLimit(capacity) >= targets;
                    CPPUNIT_ASSERT_EQUAL(isAvoidable, plan.owners * targetLimit(capacity) >= targets);
                    CPPUNIT_ASSERT_EQUAL(isAvoidable,
                                         plan.owners < instances || instances * plan.targetsPerOwner >= targets);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceCapacityTest);

} // namespace Eelgrasscleat
