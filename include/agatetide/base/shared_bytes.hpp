#pragma once

#include "agatetide/base/memory_budget.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace agatetide {

/// @brief Immutable bytes, such as the body of a request, that several holders
/// share. Copies refer to the same bytes, which take their memory from a budget
/// once and return it when the last holder is gone. Not thread-safe: all
/// holders of the same bytes must be on one executor.
class SharedBytes
{
  struct Block;

public:
  /// @brief No bytes.
  SharedBytes() = default;

  /// @brief Takes the bytes over without a copy. Implicit, since a body is
  /// mostly made from a string that nobody else needs.
  SharedBytes(std::string aBytes);
  SharedBytes(const char* aText);

  /// @brief Takes the bytes over, and what they take from a budget.
  SharedBytes(std::string aBytes, MemoryReservation aMemory);

  std::string_view View() const
  {
    return mBlock ? std::string_view(mBlock->mBytes) : std::string_view();
  }
  operator std::string_view() const { return View(); }

  size_t size() const { return View().size(); }
  bool empty() const { return View().empty(); }
  const char* Data() const { return View().data(); }
  const char* begin() const { return Data(); }
  const char* end() const { return Data() + size(); }

  /// @brief Hands over what the bytes take from a budget, for all holders.
  /// Without bytes, the memory is returned to its budget.
  void SetMemory(MemoryReservation aMemory);

  /// @brief Whether the bytes take their memory from a budget.
  bool IsCounted() const { return mBlock && mBlock->mMemory.Taken() > 0; }

  /// @brief Gives up this holder's share of the bytes.
  void Reset() { mBlock.reset(); }

  /// @brief Gives up this holder's share; returns the bytes, without a copy if
  /// there is no other holder.
  std::string Release();

  /// @brief Finds the bytes again for as long as somebody holds them.
  class Observer
  {
  public:
    Observer() = default;

    /// @brief The bytes; no bytes if no holder is left.
    SharedBytes Lock() const;
    bool IsExpired() const { return mBlock.expired(); }

  private:
    friend class SharedBytes;
    explicit Observer(std::weak_ptr<Block> aBlock)
      : mBlock(std::move(aBlock))
    {
    }
    std::weak_ptr<Block> mBlock;
  };
  Observer Observe() const { return Observer(mBlock); }

  friend bool operator==(const SharedBytes& aLeft, const SharedBytes& aRight)
  {
    return aLeft.View() == aRight.View();
  }
  friend bool operator==(const SharedBytes& aLeft, std::string_view aRight)
  {
    return aLeft.View() == aRight;
  }
  friend bool operator==(const SharedBytes& aLeft, const char* aRight)
  {
    return aLeft.View() == aRight;
  }

private:
  struct Block
  {
    std::string mBytes;
    MemoryReservation mMemory;
  };

  std::shared_ptr<Block> mBlock;
};

} // namespace agatetide
