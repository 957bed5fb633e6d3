#include "wasabihookctl/blocking_store_client.h"

#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <memory>
#include <random>
#include <stdexcept>
#include <utility>

#include "decision/settings/settings_parser.h"
#include "wasabihook/random_source.h"

namespace wasabihook::ctl {

namespace {

platform::PlatformClientOptions ClientOptions(const std::string& address) {
  platform::PlatformClientOptions options;
  options.address = address;
  return options;
}

}  // namespace

BlockingStoreClient::BlockingStoreClient(const std::string& address)
    : m_client(ClientOptions(address)) {}

KeyValue BlockingStoreClient::Get(const std::string& subtree) {
  const std::string key = std::string(kSettingsKeyPrefix) + subtree;
  // Shared with the callback, because set_value() may still be running when
  // get() returns.
  const auto promise = std::make_shared<std::promise<GetResult>>();
  m_client.Get(key, [promise](GetResult result) {
    promise->set_value(std::move(result));
  });
  GetResult result = promise->get_future().get();
  if (result.status == StoreStatus::kNotFound) {
    return {key, "", Revision(0)};
  }
  if (result.status != StoreStatus::kOk) {
    throw std::runtime_error("cannot read from the store: " +
                             platform::ToString(result.status));
  }
  return std::move(result.entry);
}

ListResult BlockingStoreClient::List(std::optional<Revision> newer_than,
                                     Duration wait) {
  const auto promise = std::make_shared<std::promise<ListResult>>();
  m_client.List(
      std::string(kSettingsKeyPrefix), newer_than, wait,
      [promise](ListResult result) { promise->set_value(std::move(result)); });
  ListResult result = promise->get_future().get();
  if (result.status != StoreStatus::kOk) {
    throw std::runtime_error("cannot read from the store: " +
                             platform::ToString(result.status));
  }
  return result;
}

SettingsWriteResult BlockingStoreClient::Put(const SettingsWrite& write,
                                             Duration timeout) {
  SettingsWriter writer(
      {&m_timers, &m_client, MakeRandomSource(std::random_device{}())});
  const auto promise = std::make_shared<std::promise<SettingsWriteResult>>();
  writer.Put(write, timeout, [promise](SettingsWriteResult result) {
    promise->set_value(std::move(result));
  });
  return promise->get_future().get();
}

std::string ReadFileOrStdin(const std::string& path) {
  std::ifstream file;
  std::istream* in = &std::cin;
  if (path != "-") {
    file.open(path, std::ios::binary);
    if (!file) {
      throw std::invalid_argument("cannot read " + path);
    }
    in = &file;
  }
  return {std::istreambuf_iterator<char>(*in), {}};
}

}  // namespace wasabihook::ctl
