/// @file
/// Decides on starts from the slots in use and the faults that are switched on.
#include "TaskRunner.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <cassert>
#include <cmath>

namespace Eelgrasscleat
{

TaskRunner::TaskRunner(const schema::TargetStandInSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed())
{
}

StartPlan TaskRunner::plan(const schema::StartRequest &request)
{
    StartPlan plan;
    plan.answer.set_attempt(request.attempt());
    plan.answerAfter = std::chrono::milliseconds(m_faults.delay_ms());
    if (m_faults.freeze()) {
        plan.disposition = schema::START_DISPOSITION_FROZEN;
        return plan;
    }
    if (m_faults.drop_after_receive()) {
        plan.disposition = schema::START_DISPOSITION_DROPPED;
        return plan;
    }
    if (m_faults.leaving() || m_faults.refuse_all() || m_busySlots >= m_settings.slots()) {
        plan.disposition = schema::START_DISPOSITION_REFUSED;
        plan.answer.set_status(m_faults.leaving() ? schema::START_STATUS_LEAVING : schema::START_STATUS_BUSY);
        return plan;
    }
    ++m_busySlots;
    plan.disposition = schema::START_DISPOSITION_RUN;
    const std::chrono::milliseconds wanted = runTime(request.payload());
    const std::chrono::milliseconds limit(request.max_run_ms());
    const bool cutOff = limit.count() > 0 && wanted > limit;
    plan.answerAfter += cutOff ? limit : wanted;
    const bool fails = std::bernoulli_distribution(m_faults.fail_fraction())(m_random);
    if (cutOff || m_faults.fail_all() || fails) {
        plan.answer.set_status(schema::START_STATUS_FAILED);
        plan.answer.set_output(cutOff ? "run time limit reached" : "failed on demand");
        return plan;
    }
    plan.answer.set_status(schema::START_STATUS_DONE);
    plan.answer.set_output("done:" + request.payload());
    return plan;
}

void TaskRunner::release()
{
    assert(m_busySlots > 0 && "every release belongs to a task that was run");
    --m_busySlots;
}

void TaskRunner::setFaults(const schema::TargetFaults &faults)
{
    m_faults = faults;
    if (faults.seed() != 0) {
        m_random.seed(faults.seed());
    }
}

const schema::TargetFaults &TaskRunner::faults() const
{
    return m_faults;
}

std::chrono::milliseconds TaskRunner::runTime(const std::string &payload)
{
    const auto object = QJsonDocument::fromJson(QByteArray::fromStdString(payload)).object();
    double ms = std::max(0.0, object.value(QStringLiteral("run_ms")).toDouble(0)) / m_settings.speed();
    const bool straggles = std::bernoulli_distribution(m_faults.straggle_fraction())(m_random);
    if (straggles && m_faults.straggle_factor() > 0) {
        ms *= m_faults.straggle_factor();
    }
    return std::chrono::milliseconds(std::llround(ms));
}

} // namespace Eelgrasscleat
