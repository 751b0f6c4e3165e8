// Package sequential tests, while calls are coming in, whether one version answers worse than another.
//
// A Comparison is a test martingale over blocks of calls that went to both versions in the same time. Its
// factors are the E-variables of Turner, Ly and Grünwald, "Generic E-variables for exact sequential k-sample
// tests that allow for optional stopping" (Journal of Statistical Planning and Inference 230, 2024): under the
// hypothesis that both versions have the same rate of bad calls within each block, whatever that rate is and
// however it changes from block to block, each factor has an expectation of one at most. By Ville's inequality
// the evidence reaches 1/a with a probability of a at most, however often it is looked at.
//
// A change that comes later is found because the martingale is a mixture over the block at which the badness
// starts, as in Shiryaev's procedure (1963), with fixed weights that sum to one.
//
// A Clearance is the opposite test, Wald's sequential probability ratio test (1945) of the hypothesis that the new
// version is worse by a margin. It takes the old version's rate from a running estimate, so that its miss rate
// holds approximately.
//
// The package is pure.
package sequential
