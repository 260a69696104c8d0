/// @file
/// Typed names and numbers, so that a zone can't be passed where a customer is meant.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Eelgrasscleat
{

/// A name of one kind of thing; @p Tag tells the kinds apart.
template <typename Tag>
struct Name
{
    std::string value;

    Name() = default;
    explicit Name(std::string text)
        : value(std::move(text))
    {
    }
    auto operator<=>(const Name &) const = default;
    bool operator==(const Name &) const = default;
    [[nodiscard]] bool isEmpty() const
    {
        return value.empty();
    }
};

/// A number of one kind of thing; 0 means none.
template <typename Tag>
struct Number
{
    std::uint64_t value = 0;

    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t n)
        : value(n)
    {
    }
    auto operator<=>(const Number &) const = default;
    bool operator==(const Number &) const = default;
    [[nodiscard]] constexpr bool isNone() const
    {
        return value == 0;
    }
};

using CustomerName = Name<struct CustomerNameTag>;
using ServiceName = Name<struct ServiceNameTag>;
using ZoneName = Name<struct ZoneNameTag>;
using TargetName = Name<struct TargetNameTag>;
/// Configured name of an entry instance; successive incarnations share it.
using InstanceName = Name<struct InstanceNameTag>;
/// What permits are counted for: a customer's work in flight.
using ResourceName = Name<struct ResourceNameTag>;

/// One life of an entry process, a random number drawn at its start.
using IncarnationId = Number<struct IncarnationIdTag>;
/// A submission within one entry process.
using SubmissionId = Number<struct SubmissionIdTag>;
/// One attempt to start a task, unique within its incarnation.
using AttemptId = Number<struct AttemptIdTag>;
/// Whom to answer: a caller's pending request, or a peer's.
using CallerId = Number<struct CallerIdTag>;
/// A loan of permits, unique within the lender's incarnation.
using LoanId = Number<struct LoanIdTag>;

/// A task of a submission within one entry process.
struct TaskRef
{
    SubmissionId submission;
    std::uint32_t index = 0;
    auto operator<=>(const TaskRef &) const = default;
    bool operator==(const TaskRef &) const = default;
};

/// An entry instance in one of its lives.
struct PeerId
{
    InstanceName name;
    IncarnationId incarnation;
    auto operator<=>(const PeerId &) const = default;
    bool operator==(const PeerId &) const = default;
};

} // namespace Eelgrasscleat

template <typename Tag>
struct std::hash<Eelgrasscleat::Name<Tag>>
{
    std::size_t operator()(const Eelgrasscleat::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value);
    }
};

template <typename Tag>
struct std::hash<Eelgrasscleat::Number<Tag>>
{
    std::size_t operator()(const Eelgrasscleat::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value);
    }
};
