package org.dahliapass.decisions.configuration;

/**
 * What a follower has done and holds, for metrics.
 *
 * @param headNumber the newest number up to which it knows all changes
 * @param customersKnown the customers whose newest change it keeps
 * @param activeTemplates the customers whose template it holds
 * @param incompleteGroups the groups that it doesn't know whole
 * @param textsWanted the texts that it still looks for
 * @param recordsForwarded the records that it passed on, each counted once
 * @param storeReads the reads of the store that it asked for
 * @param rejected the templates that failed their check
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
