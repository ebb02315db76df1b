package org.dahliapass.decisions.configuration;

/**
 * The counters of a {@link ConfigurationFollower} for metrics.
 *
 * @param headNumber highest number up to which all changes are known
 * @param customersKnown number of customers whose newest change is known
 * @param activeTemplates number of active templates
 * @param incompleteGroups number of groups that are not complete
 * @param textsWanted number of texts to fetch
 * @param recordsForwarded number of records sent as rumors, each counted once
 * @param storeReads number of requested reads of the store
 * @param rejected number of invalid templates
 */
public record FollowerCounters(
        long headNumber,
        int customersKnown,
        int activeTemplates,
        int incompleteGroups,
        int textsWanted,
        long recordsForwarded,
        long storeReads,
        long rejected) {}
