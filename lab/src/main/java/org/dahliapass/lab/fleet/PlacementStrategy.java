package org.dahliapass.lab.fleet;

/** A strategy for choosing the targets of requests. */
enum PlacementStrategy {
    /** The algorithm that VMs run in production. */
    PRODUCTION,
    /** The less loaded of two random targets, by each VM's own in-flight counts. */
    POWER_OF_TWO,
    /** An omniscient choice by the actual state of all targets; an upper bound. */
    ALL_KNOWING
}
