package dev.jackdawdale.telemetry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.string.shouldContain

private class Row(val name: String, val line: String, val report: CellMeters.() -> Unit)

class CellMetersTest :
    FunSpec({
        context("each metric is on the metrics page under its documented name") {
            withData(
                nameFn = { it.name },
                Row(
                    "wait before start",
                    """jackdawdale_wait_before_start_seconds_count{class="gang",host="h"} 1"""
                ) { recordWait(WorkClass.GANG, 40) },
                Row(
                    "wait histogram",
                    """bucket{class="gang",host="h",le="0.05"} 1"""
                ) { recordWait(WorkClass.GANG, 40) },
                Row(
                    "packing",
                    """jackdawdale_packing_ratio{host="h",resource="cpu"} 0.75"""
                ) { recordPacking(Dimension.CPU, 3, 4) },
                Row(
                    "packing without workers does not divide by zero",
                    """jackdawdale_packing_ratio{host="h",resource="memory"} 0.0"""
                ) { recordPacking(Dimension.MEMORY, 0, 0) },
                Row(
                    "control cost",
                    """jackdawdale_control_decision_seconds_count{decision="place",host="h"} 1"""
                ) { recordDecision("place", 1_000) },
                Row(
                    "useful work",
                    """jackdawdale_run_ms_total{host="h",result="useful"} 20.0"""
                ) { recordRun(20, useful = true) },
                Row(
                    "refusals by limit",
                    """jackdawdale_refusals_total{host="h",limit="request_rate_per_sec"} 1.0"""
                ) { recordRefusal("request_rate_per_sec") },
                Row(
                    "head-of-line wait",
                    """jackdawdale_short_behind_long_seconds_count{host="h"} 1"""
                ) { recordShortBehindLong(3) }
            ) { row ->
                val registry = prometheusRegistry("h")
                CellMeters(registry).apply(row.report)
                registry.scrape() shouldContain row.line
            }
        }
    })
