/// @file
/// Validation of the fields of a change.
#include "ChangeRules.h"

#include <eelgrasscleat/Contract/ConfigState.h>

#include <set>

namespace Eelgrasscleat
{

namespace
{

/// Limit for names and change ids.
constexpr std::size_t MaxNameBytes = 128;
/// Limit for authors and reasons.
constexpr std::size_t MaxTextBytes = 1024;
/// Keeps a record far below the log's maximum record size.
constexpr int MaxOperations = 1000;
constexpr std::size_t Sha256Bytes = 32;
constexpr std::uint64_t MaxPort = 65535;

/// Checks fields and keeps the first error.
class FieldChecker
{
public:
    /// @param prefix path of the message that contains the fields checked next
    void setPrefix(std::string prefix)
    {
        m_prefix = std::move(prefix);
    }

    void checkText(const char *field, const std::string &value, std::size_t maxBytes)
    {
        if (value.empty()) {
            reportError(field, "found nothing, expected a text");
        } else if (value.size() > maxBytes) {
            reportError(field, "found a longer text, expected at most " + std::to_string(maxBytes) + " bytes");
        }
    }

    /// Names are used in subjects, metrics and URLs, so separators and control characters are not allowed.
    void checkName(const char *field, const std::string &value)
    {
        checkText(field, value, MaxNameBytes);
        for (const char character : value) {
            if (static_cast<unsigned char>(character) <= ' ' || character == '/' || character == '\x7f') {
                reportError(field, "found a space, slash or control character");
            }
        }
    }

    void checkNumber(const char *field, std::uint64_t value, std::uint64_t minimum, std::uint64_t maximum)
    {
        if (value < minimum || value > maximum) {
            reportError(field,
                        "found " + std::to_string(value) + ", expected from " + std::to_string(minimum) + " to "
                            + std::to_string(maximum));
        }
    }

    void reportError(const char *field, const std::string &what)
    {
        if (m_error.empty()) {
            m_error = m_prefix + field + ": " + what;
        }
    }

    [[nodiscard]] Result<Done> result() const
    {
        if (m_error.empty()) {
            return Done();
        }
        return Error { .code = ErrorCode::Invalid, .step = Step::CheckContract, .peer = {}, .detail = m_error };
    }

private:
    std::string m_prefix;
    std::string m_error;
};

void checkContract(FieldChecker &checker, const schema::Contract &contract)
{
    checker.checkName("customer", contract.customer());
    checker.checkName("service", contract.service());
    checker.checkNumber("key_sha256 (bytes)", contract.key_sha256().size(), Sha256Bytes, Sha256Bytes);
    checker.checkNumber("in_flight_limit", contract.in_flight_limit(), 1, UINT32_MAX);
    checker.checkNumber("urgency", contract.urgency(), schema::URGENCY_PATIENT, schema::URGENCY_URGENT);
    checker.checkNumber("max_run_ms", contract.max_run_ms(), 1, UINT32_MAX);
    checker.checkNumber("max_queued", contract.max_queued(), 1, UINT32_MAX);
}

void checkTarget(FieldChecker &checker, const schema::Target &target)
{
    checker.checkName("name", target.name());
    checker.checkName("zone", target.zone());
    checker.checkName("service", target.service());
    checker.checkName("address", target.address());
    checker.checkNumber("port", target.port(), 1, MaxPort);
    checker.checkNumber("slots", target.slots(), 1, UINT32_MAX);
    checker.checkNumber("connections", target.connections(), 1, UINT32_MAX);
    checker.checkNumber("state", target.state(), schema::TARGET_STATE_ACTIVE, schema::TARGET_STATE_DRAINING);
}

void checkOperation(FieldChecker &checker, const schema::Operation &operation, const std::string &path)
{
    checker.setPrefix(path + ".");
    switch (operation.kind_case()) {
    case schema::Operation::kPutContract:
        checker.setPrefix(path + ".put_contract.");
        checkContract(checker, operation.put_contract());
        return;
    case schema::Operation::kRemoveContract:
        checker.checkName("remove_contract", operation.remove_contract());
        return;
    case schema::Operation::kPutTarget:
        checker.setPrefix(path + ".put_target.");
        checkTarget(checker, operation.put_target());
        return;
    case schema::Operation::kRemoveTarget:
        checker.checkName("remove_target", operation.remove_target());
        return;
    case schema::Operation::KIND_NOT_SET:
        checker.reportError("kind", "found nothing, expected an operation");
        return;
    }
}

} // namespace

std::string operationSubject(const schema::Operation &operation)
{
    const std::string contract(ContractSubjectPrefix);
    const std::string target(TargetSubjectPrefix);
    switch (operation.kind_case()) {
    case schema::Operation::kPutContract:
        return contract + operation.put_contract().customer();
    case schema::Operation::kRemoveContract:
        return contract + operation.remove_contract();
    case schema::Operation::kPutTarget:
        return target + operation.put_target().name();
    case schema::Operation::kRemoveTarget:
        return target + operation.remove_target();
    case schema::Operation::KIND_NOT_SET:
        break;
    }
    return {};
}

bool isRemoval(const schema::Operation &operation)
{
    return operation.has_remove_contract() || operation.has_remove_target();
}

Result<Done> validateChange(const schema::ConfigChange &change)
{
    FieldChecker checker;
    checker.checkText("change_id", change.change_id(), MaxNameBytes);
    checker.checkText("author", change.author(), MaxTextBytes);
    checker.checkText("reason", change.reason(), MaxTextBytes);
    checker.checkNumber("operations (count)", static_cast<std::uint64_t>(change.operations_size()), 1, MaxOperations);
    std::set<std::string> subjects;
    int index = 0;
    for (const schema::Operation &operation : change.operations()) {
        const std::string path = "operations[" + std::to_string(index++) + "]";
        checkOperation(checker, operation, path);
        if (!subjects.insert(operationSubject(operation)).second) {
            checker.setPrefix(path);
            checker.reportError("", "an earlier operation already changes " + operationSubject(operation));
        }
    }
    return checker.result();
}

} // namespace Eelgrasscleat
