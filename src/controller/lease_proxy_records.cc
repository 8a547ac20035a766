#include "lease_proxy_records.h"

#include <algorithm>
#include <memory>

#include "constants.h"
#include "lease_proxy_record.h"
#include "store_keys.h"

namespace corkmux {

LeaseProxyRecords::LeaseProxyRecords(const Settings& settings, StateClient& state)
    : state_(state),
      key_(kLeaseProxyPrefix + settings.label),
      record_size_(static_cast<std::size_t>(settings.next.value_kb * 1024 * constants::kRecordShare)),
      max_records_(settings.next.txn_ops) {}

/// Guards against a worker whose lease was renewed while no record names it. A process may restart within a
/// fraction of a second, sooner than the leader reads the records again: the workers that its former
/// incarnation answered stay in the records for as long as those answers may count. A write of the former
/// incarnation, or a write of this one that timed out, may be applied late: it then fails, since its
/// conditions name revisions that were replaced meanwhile.
void LeaseProxyRecords::read(ReadCallback done) {
  struct Found {
    std::map<std::string, std::uint64_t> revisions;
    Names machines;
  };
  auto found = std::make_shared<Found>();
  state_.read_all(
      key_, "",
      [this, found](const codec::KeyValue& record) {
        bool own_record = record.key == key_ || record.key.rfind(key_ + "/", 0) == 0;
        if (!own_record) return;  // of a controller whose label begins with this one's
        found->revisions[record.key] = record.revision;
        for (auto& machine : parse_lease_proxy_record(record.value).machines)
          found->machines.insert(std::move(machine));
      },
      [this, found, done = std::move(done)](const ReadEnd& end) {
        if (!end.ok()) return done(std::nullopt);
        revisions_ = std::move(found->revisions);
        done(std::move(found->machines));
      });
}

std::vector<LeaseProxyRecords::List> LeaseProxyRecords::split(const Names& machines) const {
  std::vector<List> lists;
  std::size_t bytes = record_size_;
  for (const auto& machine : machines) {
    if (bytes + bytes_of(machine) > record_size_) {
      lists.emplace_back();
      bytes = 0;
    }
    lists.back().push_back(machine);
    bytes += bytes_of(machine);
  }
  return lists;
}

void LeaseProxyRecords::write(const Names& machines, WriteCallback done) {
  auto lists = split(machines);
  std::vector<codec::Condition> conditions;
  std::vector<codec::Write> writes;
  for (std::size_t i = 0; i < std::max(lists.size(), revisions_->size()); ++i) {
    std::optional<codec::Json> value;
    if (i < lists.size()) value = to_json(LeaseProxyRecord{std::move(lists[i]), ++write_count_});
    std::string key = i ? key_ + "/" + std::to_string(i) : key_;
    auto revision = revisions_->find(key);
    conditions.push_back({key, revision == revisions_->end() ? 0 : revision->second});
    writes.push_back({std::move(key), std::move(value), 0});
  }
  state_.transaction(conditions, writes, [this, writes, done = std::move(done)](const StateReply& reply) {
    written(writes, reply);
    done(reply.status);
  });
}

void LeaseProxyRecords::written(const std::vector<codec::Write>& writes, const StateReply& reply) {
  // Refused: nothing was written. Otherwise a late write changed the records, or this write may still be
  // applied: the revisions have to be read before the next write.
  if (!reply.ok()) {
    if (reply.status != StateStatus::Refused) revisions_.reset();
    return;
  }
  auto revision = codec::parse_revision(reply.body);
  for (const auto& write : writes) {
    if (write.value)
      (*revisions_)[write.key] = revision;
    else
      revisions_->erase(write.key);
  }
}

}  // namespace corkmux
