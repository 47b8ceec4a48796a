package dev.jackdawdale.wire

import dev.jackdawdale.timeline.HybridTime
import dev.jackdawdale.timeline.timeline
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/** Each test is named after the failure that it guards against. */
class FrameTimeTest :
    FunSpec({
        test("a frame loses its time or message") {
            val frame = timedFrame(HybridTime(5, 7), byteArrayOf(1, 2, 3))
            frameTimeOrNull(frame) shouldBe HybridTime(5, 7)
            frame.drop(FRAME_TIME_BYTES) shouldBe listOf<Byte>(1, 2, 3)
        }

        test("a frame shorter than a time is read past its end") {
            frameTimeOrNull(ByteArray(FRAME_TIME_BYTES - 1)) shouldBe null
        }

        test("a receiver whose wall clock is slow records an effect before its cause") {
            val sender = timeline("ahead", nowMs = { 10_000 })
            val receiver = timeline("behind", nowMs = { 1_000 })
            val sent = sender.stamp()
            val frame = timedFrame(sent, ByteArray(0))
            frameTimeOrNull(frame)?.let(receiver::observe)
            receiver.stamp() shouldBeGreaterThan sent
        }
    })
