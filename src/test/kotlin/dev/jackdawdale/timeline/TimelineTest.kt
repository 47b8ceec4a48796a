package dev.jackdawdale.timeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

class TimelineTest :
    FunSpec({
        test("the ring buffer keeps the latest events and counts the overwritten ones") {
            val timeline = timeline("h", capacity = 3) { 7 }
            (1..5).forEach { timeline.record(EventKind.WORK_ACCEPTED, "c/$it") }
            val held = timeline.events()
            held.dropped shouldBe 2
            held.events.map { it.subjects.single() } shouldContainExactly
                listOf("c/3", "c/4", "c/5")
        }

        test("a job's events include those of its tasks, not those of a job with a longer id") {
            val timeline = timeline("h") { 7 }
            timeline.record(EventKind.WORK_ACCEPTED, "c/1")
            timeline.record(EventKind.TASK_PLACED, "c/1#0", "w1")
            timeline.record(EventKind.WORK_ACCEPTED, "c/10")
            timeline.events("c/1").events.map { it.kind } shouldContainExactly
                listOf(EventKind.WORK_ACCEPTED, EventKind.TASK_PLACED)
        }

        test("no event of concurrent threads is lost and no two have the same timestamp") {
            val timeline = timeline("h") { 7 }
            val start = CountDownLatch(1)
            val threads = List(4) {
                thread {
                    start.await()
                    repeat(500) { timeline.record(EventKind.ERROR, "x") }
                }
            }
            start.countDown()
            threads.forEach(Thread::join)
            timeline.events().events.map { it.time }.distinct().size shouldBe 2_000
        }

        test("effects follow their causes even when the clocks of the hosts disagree") {
            val sender = timeline("a") { 9_000 }
            val receiver = timeline("b") { 1_000 }
            sender.record(EventKind.WORK_PLACED, "c/1")
            receiver.observe(sender.stamp())
            receiver.record(EventKind.DISPATCH_SENT, "c/1")
            val merged = mergeTimelines(
                listOf(
                    HostTimelineResult.Reached(receiver.events()),
                    HostTimelineResult.Unreached("c", "connection refused"),
                    HostTimelineResult.Reached(sender.events())
                )
            )
            merged.events.map { it.kind } shouldContainExactly
                listOf(EventKind.WORK_PLACED, EventKind.DISPATCH_SENT)
            merged.toText() shouldContain "incomplete: c was not reached: connection refused"
        }

        test("the trace has a span from acceptance to end and timestamps in order") {
            val timeline = timeline("h") { 7 }
            timeline.record(EventKind.WORK_ACCEPTED, "c/1")
            timeline.record(EventKind.WORK_ENDED, "c/1")
            val trace = mergeTimelines(listOf(HostTimelineResult.Reached(timeline.events())))
                .toChromeTrace()
            val events = Json.parseToJsonElement(trace).jsonObject["traceEvents"]!!.jsonArray
                .map { it.jsonObject }
            events.map { it["ph"]!!.jsonPrimitive.content } shouldContainExactly
                listOf("M", "i", "i", "b", "e")
            events.mapNotNull { it["ts"]?.jsonPrimitive?.content?.toLong() }.takeLast(2)
                .shouldBeSorted()
        }

        test("the JSON answer of a process decodes to the same events") {
            val timeline = timeline("h") { 7 }
            timeline.record(EventKind.CONTRACT_CHANGED, "c", details = "version 2")
            timelineJson.decodeFromString<HostTimeline>(timeline.json("c")) shouldBe
                timeline.events("c")
        }
    })
