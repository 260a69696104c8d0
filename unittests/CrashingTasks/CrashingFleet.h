/// @file
/// Targets that crash under certain tasks, and the owners that start those tasks.
#pragma once

#include "../Dispatch/FakeFleet.h"
#include "../Dispatch/JobEndObserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace Eelgrasscleat
{

/// Owners of a fleet, each of an equal share of the targets, and the callers' jobs. Removed list entries, new names of
/// returned targets and published crashes pass between them as through the coordination store.
class CrashingFleet
{
public:
    static inline const InstanceName kHome { "home" };
    /// A list entry is removed after three missed heartbeats.
    static constexpr Duration kEntryLifetime = std::chrono::milliseconds(4500);
    /// Until a published crash is read by the other owners.
    static constexpr Duration kPublishTime = std::chrono::milliseconds(120);

    explicit CrashingFleet(std::size_t owners = 1, std::size_t targets = 12)
        : fleet(queue, 1)
    {
        fleet.addTargets(targets);
        for (std::size_t i = 0; i < owners; ++i) {
            m_owners.push_back(std::make_unique<Owner>(*this));
        }
        for (std::size_t i = 0; i < targets; ++i) {
            own(i % owners, fleet.targets[i].description);
        }
        fleet.onReturned = [this](const TargetName &before, const DispatchTarget &target) { returned(before, target); };
        tick();
        run(std::chrono::milliseconds(500));
    }

    /// Registers a job of @p tasks equal tasks. Those with an index below @p crashing crash their targets.
    JobRequest job(const std::string &id, std::uint32_t tasks, std::uint32_t crashing = 0)
    {
        JobRequest request;
        request.id = JobId(id);
        request.route = RouteName("route");
        request.service = ServiceName("service");
        request.payload = "payload";
        request.attempts = 6;
        request.stretch = 1000;
        JobStep step;
        step.tasks = tasks;
        step.demand = { 10000, 64, 0 };
        step.estimate = work;
        request.steps.push_back(step);
        for (std::uint32_t i = 0; i < tasks; ++i) {
            fleet.registerTask({ request.id, 0, i }, step.demand, work);
            if (i < crashing) {
                fleet.makeCrashing({ request.id, 0, i });
            }
        }
        return request;
    }

    /// Replaces an owner by its next life, which knows only what was published.
    void restartOwner(std::size_t owner)
    {
        m_owners[owner] = std::make_unique<Owner>(*this);
        for (const TargetCrash &it : m_published) {
            dispatcher(owner).crashLearned(it, queue.now());
        }
        ++m_token;
        for (const FakeTarget &it : fleet.targets) {
            if (m_ownerOf.at(it.description.address) == owner) {
                own(owner, it.description);
            }
        }
    }

    /// The zone's targets are dealt anew: those of one owner go to another.
    void moveTargets(std::size_t from, std::size_t to)
    {
        ++m_token;
        for (const FakeTarget &it : fleet.targets) {
            if (m_ownerOf.at(it.description.address) == from) {
                dispatcher(from).targetReleased(it.description.name, queue.now());
                own(to, it.description);
            }
        }
    }

    void submit(const JobRequest &request, std::size_t owner = 0)
    {
        JobRequest copy = request;
        copy.submitted = queue.now();
        copy.deadline = queue.now() + deadline;
        Dispatcher &dispatcher = *m_owners[owner]->dispatcher;
        dispatcher.homeContacted(kHome, queue.now());
        dispatcher.submit({ kHome, ++m_lastTicket }, std::move(copy), queue.now());
    }

    /// Runs until the job has ended at most @p limit later. @returns its last end.
    JobEnd awaitEnd(const std::string &id, Duration limit)
    {
        const Instant until = queue.now() + limit;
        while (ends.count(JobId(id)) == 0 && queue.now() < until) {
            run(std::chrono::milliseconds(10));
        }
        CPPUNIT_ASSERT_MESSAGE("job " + id + " has not ended", ends.count(JobId(id)) > 0);
        return ends.at(JobId(id));
    }

    void run(Duration length)
    {
        queue.runUntil(queue.now() + length);
    }

    [[nodiscard]] std::uint32_t crashes(const std::string &job, std::uint32_t index = 0) const
    {
        return fleet.crashes({ JobId(job), 0, index });
    }

    Dispatcher &dispatcher(std::size_t owner = 0)
    {
        return *m_owners[owner]->dispatcher;
    }

    EventQueue queue;
    FakeFleet fleet;
    Duration work = std::chrono::milliseconds(200);
    Duration deadline = std::chrono::seconds(60);
    std::map<JobId, JobEnd> ends;

private:
    struct Owner : public JobEndObserver
    {
        explicit Owner(CrashingFleet &owning)
            : parent(owning)
            , commands(owning.fleet, owning.queue)
            , dispatcher(std::make_unique<Dispatcher>(DispatcherPolicy(), commands, *this))
        {
            commands.dispatcher = dispatcher.get();
        }
        void jobEnded(const InstanceName &, const JobEnd &end) override
        {
            parent.ends[end.id] = end;
        }
        void targetCrashed(const TargetCrash &crash) override
        {
            if (!crash.commonCause) {
                parent.publish(crash);
            }
        }

        CrashingFleet &parent;
        FakeTargetCommands commands;
        std::unique_ptr<Dispatcher> dispatcher;
    };

    void own(std::size_t owner, const DispatchTarget &target)
    {
        m_ownerOf[target.address] = owner;
        m_owners[owner]->dispatcher->targetOwned(target, FencingToken(m_token), queue.now());
    }

    void publish(const TargetCrash &crash)
    {
        m_published.push_back(crash);
        queue.after(kPublishTime, [this, crash] {
            for (const auto &it : m_owners) {
                it->dispatcher->crashLearned(crash, queue.now());
            }
        });
    }

    void returned(const TargetName &before, const DispatchTarget &target)
    {
        for (const auto &it : m_owners) {
            it->dispatcher->targetListed(target, queue.now());
        }
        const std::size_t owner = m_ownerOf.at(target.address);
        own(owner, target);
        if (target.name != before) {
            queue.after(kEntryLifetime - fleet.crashShape.downTime,
                        [this, owner, before] { m_owners[owner]->dispatcher->targetReleased(before, queue.now()); });
        }
    }

    void tick()
    {
        for (const auto &it : m_owners) {
            it->dispatcher->homeContacted(kHome, queue.now());
            it->dispatcher->advance(queue.now());
        }
        queue.after(std::chrono::milliseconds(40), [this] { tick(); });
    }

    std::vector<std::unique_ptr<Owner>> m_owners;
    std::map<std::string, std::size_t> m_ownerOf; ///< By address.
    std::vector<TargetCrash> m_published;
    std::uint64_t m_token = 1;
    std::uint64_t m_lastTicket = 0;
};

} // namespace Eelgrasscleat
