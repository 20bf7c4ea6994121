#include "agatetide/base/shared_bytes.hpp"

namespace agatetide {

SharedBytes::SharedBytes(std::string aBytes)
  : SharedBytes(std::move(aBytes), MemoryReservation())
{
}

SharedBytes::SharedBytes(const char* aText)
  : SharedBytes(std::string(aText))
{
}

SharedBytes::SharedBytes(std::string aBytes, MemoryReservation aMemory)
{
  if (!aBytes.empty()) {
    mBlock = std::make_shared<Block>();
    mBlock->mBytes = std::move(aBytes);
    mBlock->mMemory = std::move(aMemory);
  }
}

void SharedBytes::SetMemory(MemoryReservation aMemory)
{
  if (mBlock) {
    mBlock->mMemory = std::move(aMemory);
  }
}

std::string SharedBytes::Release()
{
  const std::shared_ptr<Block> block = std::exchange(mBlock, nullptr);
  if (!block) {
    return {};
  }
  return block.use_count() == 1 ? std::move(block->mBytes) : block->mBytes;
}

SharedBytes SharedBytes::Observer::Lock() const
{
  SharedBytes bytes;
  bytes.mBlock = mBlock.lock();
  return bytes;
}

} // namespace agatetide
