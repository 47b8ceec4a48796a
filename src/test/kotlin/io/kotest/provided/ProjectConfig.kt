package io.kotest.provided

import dev.jackdawdale.testing.KnownRedExtension
import io.kotest.core.config.AbstractProjectConfig
import io.kotest.core.extensions.Extension

/** Settings of the whole test run; Kotest finds this class by its name. */
class ProjectConfig : AbstractProjectConfig() {
    override val extensions: List<Extension> = listOf(KnownRedExtension())
}
