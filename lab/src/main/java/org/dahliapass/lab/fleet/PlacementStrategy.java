package org.dahliapass.lab.fleet;

/** The ways to place work that a run compares. */
enum PlacementStrategy {
    /** The decisions that VMs run in production. */
    PRODUCTION,
    /** The less loaded of two random targets, by each VM's own count. */
    POWER_OF_TWO,
    /** A choice by the true state of all targets, as a ceiling. */
    ALL_KNOWING
}
